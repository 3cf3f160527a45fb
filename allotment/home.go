package allotment

// MinBurstPerHolder is the burst per instance, in statements, below which one instance, the home of the limit, admits
// for the whole fleet. Divided between 19 instances, a limit with a burst of five or more per instance refused at most
// 0.2 % of the statements within it; with one or two it refused up to half of them.
const MinBurstPerHolder = 5

// MaxHomeBurst is the largest burst of a limit that has a home.
const MaxHomeBurst = 200 * Statement

// HasHome reports whether the limit is so small for a fleet of that many instances that one of them should admit for
// all.
func (l Limit) HasHome(instances int) bool {
	return l.Total.Rate > 0 && l.Total.Burst <= MaxHomeBurst && l.Total.Burst < MinBurstPerHolder*Statement*Statements(instances)
}

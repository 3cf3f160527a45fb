package allotment

// MinBurstPerHolder is the burst for each instance, in statements, below which a limit is admitted by one instance for all.
// With five or more, a limit that is divided between 19 instances refused at most 0.2 % of the statements inside it;
// with one or two it refused up to half of them.
const MinBurstPerHolder = 5

// MaxCentralBurst is the greatest burst of a limit that is admitted by one instance for all.
const MaxCentralBurst = 200 * Statement

// HasHome reports whether the limit is so small for a fleet of the size that one instance should admit for all.
func (l Limit) HasHome(instances int) bool {
	return l.Total.Rate > 0 && l.Total.Burst <= MaxCentralBurst && l.Total.Burst < MinBurstPerHolder*Statement*Statements(instances)
}

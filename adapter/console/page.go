package console

// tokenField is the form field with the token against cross-site requests, baseField the one with the revision that
// the form was made from.
const (
	tokenField  = "form_token"
	baseField   = "base"
	reasonField = "reason"
)

// page is what the template renders.
type page struct {
	Title    string
	Operator string
	// Status is the HTTP status; zero is 200.
	Status int
	// Problem says why nothing was changed, News what was changed.
	Problem string
	News    string
	// Secret is a new key, which is shown once.
	Secret   string
	Sections []section
	Token    string
}

// section is a part of a page: a text, a table and forms, each of which may be absent.
type section struct {
	Heading string
	Text    string
	Head    []string
	Rows    [][]cell
	Forms   []formView
}

// cell is a table cell. A Link makes it a link.
type cell struct {
	Text string
	Link string
}

// formView is a form as the template renders it.
type formView struct {
	Heading string
	Action  string
	Submit  string
	Fields  []field
	Token   string
	// Problems are the faults that belong to no field.
	Problems []string
}

// field is one setting of a form.
type field struct {
	Name  string
	Label string
	// Help explains the setting to a layperson in one sentence.
	Help string
	// Type is "text", "number", "password", "checkbox", "select" or "hidden".
	Type    string
	Value   string
	Options []string
	// Fault says what was given and what is allowed.
	Fault string
	// InForce is the value in force when another operator changed it.
	InForce string
}

func text(texts ...string) []cell {
	cells := make([]cell, 0, len(texts))
	for _, t := range texts {
		cells = append(cells, cell{Text: t})
	}
	return cells
}

func signInPage(problem string) page {
	return page{
		Title:   "Sign in",
		Problem: problem,
		Sections: []section{{Forms: []formView{{
			Action: Root + "sign-in",
			Submit: "Sign in",
			Fields: []field{
				{Name: "operator", Label: "Your name", Type: "text", Help: "The audit trail records your changes under this name."},
				{Name: "password", Label: "Password", Type: "password", Help: "All operators of this fleet share one password."},
			},
		}}}},
	}
}

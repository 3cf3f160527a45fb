package console

// Fields that all forms have: the token against cross-site request forgery, the revision that the form was created
// from, and the reason for the audit trail.
const (
	tokenField        = "form_token"
	baseRevisionField = "base"
	reasonField       = "reason"
)

// page is the data of the page template.
type page struct {
	Title    string
	Operator string
	// Status is the HTTP status; zero is 200.
	Status int
	// Problem says why a change was not made, News which change was made.
	Problem string
	News    string
	// Secret is a new key, which is displayed only once.
	Secret   string
	Sections []section
	Token    string
}

// section is a part of a page with an optional text, table and forms.
type section struct {
	Heading string
	Text    string
	Head    []string
	Rows    [][]cell
	Forms   []formView
}

// cell is a table cell. If Link is set, the text is a link.
type cell struct {
	Text string
	Link string
}

// formView is the data of the form template.
type formView struct {
	Heading string
	Action  string
	Submit  string
	Fields  []field
	Token   string
	// Problems are the violations that belong to none of the fields.
	Problems []string
}

// field is one input field of a form.
type field struct {
	Name  string
	Label string
	// Help explains the field to a layperson in one sentence.
	Help string
	// Type is "text", "number", "password", "checkbox", "select" or "hidden".
	Type    string
	Value   string
	Options []string
	// Fault says which value was submitted and what is allowed.
	Fault string
	// InForce is the current value if another operator has changed it.
	InForce string
}

func textCells(texts ...string) []cell {
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
				{Name: "operator", Label: "Your name", Type: "text", Help: "Your changes are recorded in the audit trail under this name."},
				{Name: "password", Label: "Password", Type: "password", Help: "All operators of this fleet share one password."},
			},
		}}}},
	}
}

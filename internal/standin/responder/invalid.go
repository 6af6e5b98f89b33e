package responder

// InvalidNames are names that a field can't have.
var InvalidNames = []string{"Bad ", "Bad Name", "Bad\t", "Bad\x01", "B\x00d", "Bad\x7f", "B\xe4d", "Bad(", ""}

package timekeeper

// Shift is shift for tests.
var Shift = shift

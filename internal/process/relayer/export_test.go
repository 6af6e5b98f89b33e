package relayer

// MaxAnswers is maxAnswers.
const MaxAnswers = maxAnswers

package logger

import (
	"fmt"
	"io"
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/stat"
)

// timeLayout is RFC 3339 to the millisecond: lines of several processes are put in
// order by it, and a request takes some hundred milliseconds.
const timeLayout = "2006-01-02T15:04:05.000Z07:00"

var once sync.Once

// New returns a logger of structured lines. The first call also routes the logs
// of go-zero through it, since go-zero has one log for the process.
func New(w io.Writer, level logrus.Level) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeLayout})
	once.Do(func() {
		// go-zero sets up its log once, with a writer of its own. That must
		// have happened before the writer is replaced.
		_ = logx.SetUp(logx.LogConf{Mode: "console"})
		logx.SetWriter(logxWriter{l})
		logx.DisableStat()
		stat.DisableLog()
	})
	return l
}

// bridge is go-zero's log writer over logrus. What go-zero logs for each
// request, failed ones included, is at debug level here: requests are counted,
// not logged, and their errors reach the caller anyway.
type logxWriter struct {
	log *logrus.Logger
}

func (b logxWriter) entry(fields []logx.LogField) *logrus.Entry {
	e := b.log.WithField("source", "go-zero")
	for _, f := range fields {
		e = e.WithField(f.Key, f.Value)
	}
	return e
}

func (b logxWriter) Alert(v any)                          { b.entry(nil).Error(text(v)) }
func (b logxWriter) Close() error                         { return nil }
func (b logxWriter) Debug(v any, fields ...logx.LogField) { b.entry(fields).Debug(text(v)) }
func (b logxWriter) Error(v any, fields ...logx.LogField) { b.entry(fields).Debug(text(v)) }
func (b logxWriter) Info(v any, fields ...logx.LogField)  { b.entry(fields).Debug(text(v)) }
func (b logxWriter) Severe(v any)                         { b.entry(nil).Error(text(v)) }
func (b logxWriter) Slow(v any, fields ...logx.LogField)  { b.entry(fields).Debug(text(v)) }
func (b logxWriter) Stack(v any)                          { b.entry(nil).Error(text(v)) }
func (b logxWriter) Stat(v any, fields ...logx.LogField)  { b.entry(fields).Debug(text(v)) }
func text(v any) string                                   { return fmt.Sprint(v) }

package logger

import (
	"fmt"
	"io"
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/stat"
)

// timeLayout is RFC 3339 with milliseconds, which are needed to order the lines of
// several processes: a request takes some hundred milliseconds.
const timeLayout = "2006-01-02T15:04:05.000Z07:00"

var once sync.Once

// New returns a logger that writes JSON lines to w. The first call also routes the logs
// of go-zero through the logger, since go-zero has a single log per process.
func New(w io.Writer, level logrus.Level) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeLayout})
	once.Do(func() {
		// go-zero sets up its log once, with its own writer. Trigger that before
		// replacing the writer.
		_ = logx.SetUp(logx.LogConf{Mode: "console"})
		logx.SetWriter(logxWriter{l})
		logx.DisableStat()
		stat.DisableLog()
	})
	return l
}

// logxWriter implements go-zero's log writer with logrus. It logs go-zero's messages
// about single requests, including failed ones, at debug level: requests are counted,
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

package telemetry

import (
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/tarragonford/tarragonford/internal/settings"
)

// The log formats that settings.Telemetry accepts.
const (
	formatJSON    = "json"
	formatConsole = "console"
)

func newLogger(node settings.Node, process Process, limiter *lineLimiter) (*zap.Logger, zap.AtomicLevel, error) {
	level, err := zap.ParseAtomicLevel(node.Telemetry.LogLevel)
	if err != nil {
		return nil, level, trace.BadParameter("unknown log level %q: use debug, info, warn or error", node.Telemetry.LogLevel)
	}
	encoder, err := newEncoder(node.Telemetry.LogFormat)
	if err != nil {
		return nil, level, trace.Wrap(err)
	}
	var core zapcore.Core = zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(process.Log)), level)
	if process.LinesPerSecond > 0 {
		core = limiter.limit(core, process.LinesPerSecond)
	}
	return zap.New(core).With(nodeFields(node, process)...), level, nil
}

func newEncoder(format string) (zapcore.Encoder, error) {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	switch format {
	case formatJSON, "":
		return zapcore.NewJSONEncoder(config), nil
	case formatConsole:
		return zapcore.NewConsoleEncoder(config), nil
	}
	return nil, trace.BadParameter("unknown log format %q: use json or console", format)
}

func nodeFields(node settings.Node, process Process) []zap.Field {
	return []zap.Field{
		zap.String("service", process.Name),
		zap.String("version", process.Version),
		zap.String("node", node.ID),
		zap.String("region", node.Region),
		zap.String("data_centre", node.DataCentre),
	}
}

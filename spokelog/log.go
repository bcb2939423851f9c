package spokelog

import (
	"io"
	"os"

	"github.com/rs/zerolog"
)

// Root is the logger from which all components derive theirs. The zero value
// discards all lines.
type Root struct {
	logger zerolog.Logger
}

// New returns a root that writes JSON lines at or above a level to w. It
// returns an error if the level is unknown.
func New(w io.Writer, level string) (Root, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return Root{}, err
	}
	return Root{logger: zerolog.New(w).Level(parsed).With().Timestamp().Logger()}, nil
}

// Stderr returns a root that writes to standard error at the info level.
func Stderr() Root {
	return Root{logger: zerolog.New(os.Stderr).Level(zerolog.InfoLevel).With().Timestamp().Logger()}
}

// Discard returns a root that discards all lines.
func Discard() Root {
	return Root{logger: zerolog.Nop()}
}

// Component returns the logger of one component of the system. Each line has
// the component's name in its part field.
func (r Root) Component(name string) zerolog.Logger {
	return r.logger.With().Str("part", name).Logger()
}

// WithField returns a root that adds a field to every line.
func (r Root) WithField(key, value string) Root {
	return Root{logger: r.logger.With().Str(key, value).Logger()}
}

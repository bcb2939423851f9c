package spokelog

import (
	"io"
	"os"

	"github.com/rs/zerolog"
)

// Root is the source of every part's logger. The zero value discards.
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

// Discard returns a root that writes nothing.
func Discard() Root {
	return Root{logger: zerolog.Nop()}
}

// Component returns the logger of one part of the system.
func (r Root) Component(prefix string) zerolog.Logger {
	return r.logger.With().Str("part", prefix).Logger()
}

// WithField returns a root whose lines all carry one more field.
func (r Root) WithField(key, value string) Root {
	return Root{logger: r.logger.With().Str(key, value).Logger()}
}

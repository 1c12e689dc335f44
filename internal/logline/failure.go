package logline

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
)

// Failure logs, at the level of an error, that work which goes on until it is stopped has ended with err. what
// names the work. It logs nothing if err is nil or says that a server was closed. A nil logger stands for
// the standard error output.
func Failure(logger *log.Logger, what string, err error) {
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return
	}
	if logger == nil {
		logger = &log.DefaultLogger
	}
	logger.Error().Err(err).Str("work", what).Msg("work ended with an error")
}

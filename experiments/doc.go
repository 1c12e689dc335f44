// Package experiments holds the plans of experiments on real processes, and the
// test driver that runs them, which is built with the tag experiments: see make
// experiments.
package experiments

// Package experiments holds the data files of experiments on real processes.
// Their driver is built with the tag experiments: see make experiments.
package experiments

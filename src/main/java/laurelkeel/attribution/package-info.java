/**
 * Attributes a regression to one of several concurrent rollouts: the input is node reports, the output is findings.
 *
 * <p>{@link laurelkeel.attribution.RegressionAttributor} is the entry point. Canaries are compared with the builds that
 * are not being rolled out, the reference builds, by e-values, which may be evaluated after every report. A regression
 * of the whole fleet, which such a comparison cannot detect, is explained by Bayesian model comparison. The package
 * uses no sockets, clocks, threads or random sources.
 */
@NullMarked
package laurelkeel.attribution;

import org.jspecify.annotations.NullMarked;

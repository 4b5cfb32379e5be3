/**
 * Attributes a regression to one of several concurrent rollouts: node reports go in, findings come out.
 *
 * <p>{@link laurelkeel.attribution.RegressionAttributor} is the entry. Canaries are compared with the builds that are
 * not being rolled out by e-values, which may be looked at after every report; a regression of the whole fleet, which no
 * comparison side by side shows, is explained by Bayesian model comparison. The package knows no socket, clock, thread
 * or random source.
 */
@NullMarked
package laurelkeel.attribution;

import org.jspecify.annotations.NullMarked;

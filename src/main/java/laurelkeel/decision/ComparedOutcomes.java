package laurelkeel.decision;

/**
 * The outcomes of two builds over the same span of time.
 *
 * @param candidate outcomes of the build under evaluation
 * @param baseline outcomes of the build that it is compared with
 */
record ComparedOutcomes(RouteOutcomes candidate, RouteOutcomes baseline) {}

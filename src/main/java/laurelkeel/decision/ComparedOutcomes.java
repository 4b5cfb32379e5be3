package laurelkeel.decision;

/**
 * The outcomes of two builds over the same span of time.
 *
 * @param candidate of the build under judgement
 * @param baseline of the build that it is compared with
 */
record ComparedOutcomes(RouteOutcomes candidate, RouteOutcomes baseline) {}

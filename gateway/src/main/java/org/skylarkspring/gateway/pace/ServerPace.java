package org.skylarkspring.gateway.pace;

/**
 * How long work takes on one server, compared with a server of the usual pace.
 *
 * @param averageDurationFactor average of the last seconds, 1 for the usual duration, 2
 * for twice as long
 * @param currentDurationFactor the same with more weight on the latest report
 * @param reports number of reports on which the average rests
 * @param ageMillis time since the latest report to this instance, in milliseconds, -1 if
 * there was none
 */
public record ServerPace(double averageDurationFactor, double currentDurationFactor, long reports, long ageMillis) {
}

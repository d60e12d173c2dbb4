package org.skylarkspring.gateway.pressure;

/**
 * Memory of an instance at one moment.
 *
 * @param liveBytes estimated bytes of the heap that a collection cannot free
 * @param limitBytes largest number of such bytes with which the process can live
 * @param bodyBytes bytes of request bodies among them
 * @param responseBytes bytes of responses among them
 * @param ageMillis time since the collection on which the estimate is based
 */
public record MemorySample(long liveBytes, long limitBytes, long bodyBytes, long responseBytes, long ageMillis) {
}

package org.skylarkspring.gateway.model;

import java.util.OptionalInt;

/**
 * What a request for a generation says of its size.
 *
 * @param promptTokens number of tokens of the prompt
 * @param maximumOutputTokens limit on the tokens generated
 * @param expectedOutputTokens the caller's estimate, right in the middle but often far
 * off
 */
public record GenerationSize(int promptTokens, int maximumOutputTokens, OptionalInt expectedOutputTokens) {
}

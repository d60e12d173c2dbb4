package org.skylarkspring.gateway.model;

import java.util.OptionalInt;

/**
 * Size of a generation as stated in its request.
 *
 * @param promptTokens number of tokens of the prompt
 * @param maximumOutputTokens maximum number of tokens to generate
 * @param expectedOutputTokens the caller's estimate of the tokens generated, accurate at
 * the median but often far off for a single request; empty if it gave none
 */
public record GenerationSize(int promptTokens, int maximumOutputTokens, OptionalInt expectedOutputTokens) {
}

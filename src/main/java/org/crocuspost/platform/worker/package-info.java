/**
 * Defines the interface of the platform's worker runtime, which starts and stops tasks on
 * one worker, and its HTTP client.
 */
@NullMarked
package org.crocuspost.platform.worker;

import org.jspecify.annotations.NullMarked;

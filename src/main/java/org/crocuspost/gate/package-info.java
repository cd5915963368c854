/**
 * The agent's gate before an endpoint: slots, queue, drain, fates of requests and kept
 * answers.
 */
@NullMarked
package org.crocuspost.gate;

import org.jspecify.annotations.NullMarked;

/**
 * Stand-in for an HTTP endpoint that records the requests it executes and simulates
 * faults.
 */
@NullMarked
package org.crocuspost.standin.endpoint;

import org.jspecify.annotations.NullMarked;

package org.crocuspost.gate;

import java.util.Objects;
import java.util.function.Consumer;

import org.crocuspost.error.Failure;

/**
 * A request that asks for a slot. Exactly one of the actions is called, once.
 *
 * @param priority a lower number goes first
 * @param deadlineNanos the deadline on the monotonic clock
 * @param start called when the request has a slot
 * @param refuse called if the request will never get a slot
 */
record Admission(int priority, long deadlineNanos, Consumer<Slot> start, Consumer<Failure> refuse) {

	Admission {
		Objects.requireNonNull(start, "start");
		Objects.requireNonNull(refuse, "refuse");
	}

}

package org.crocuspost.dispatch;

import java.util.Objects;
import java.util.Optional;

/**
 * The end of a worker that has said that it leaves, as its agent records it for leaders
 * that the agent cannot tell.
 *
 * @param worker the identity of the worker
 * @param born the start of its life, Unix time in milliseconds
 * @param atMillis when the agent knew of the end, Unix time in milliseconds
 * @param agent the life of the agent
 */
public record Departure(String worker, long born, long atMillis, String agent) {

	private static final int FIELDS = 4;

	public Departure {
		Objects.requireNonNull(worker, "worker");
		Objects.requireNonNull(agent, "agent");
	}

	/**
	 * Writes the stored form.
	 * @return one line
	 */
	public String write() {
		return this.worker + " " + this.born + " " + this.atMillis + " " + this.agent;
	}

	/**
	 * Reads the stored form.
	 * @param text the text
	 * @return the departure, or empty if the text is malformed
	 */
	public static Optional<Departure> read(String text) {
		String[] parts = text.split(" ");
		if (parts.length != FIELDS) {
			return Optional.empty();
		}
		try {
			return Optional.of(new Departure(parts[0], Long.parseLong(parts[1]), Long.parseLong(parts[2]), parts[3]));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	boolean endsRunsOf(String otherWorker, long otherBorn) {
		return this.worker.equals(otherWorker) && this.born == otherBorn;
	}

}

package org.crocuspost.lead;

import java.time.Duration;
import java.util.Optional;

import org.crocuspost.rows.StoredRow;

/**
 * Value that takes the place of a job that was rejected because of the backlog. A write
 * of the job that was sent before the rejection is refused, whenever the store carries it
 * out. A later submission of the job replaces the mark, with the version of its row as
 * the condition; each further rejection writes it again.
 *
 * @param millis when the job was rejected, Unix time in milliseconds of the entry process
 */
public record RejectionMark(long millis) {

	/**
	 * Time after the rejection for which a submission does not replace the mark, since it
	 * may be an earlier try that another entry process still works on. Longer than the
	 * difference of 2.5 s between two clocks and the time that callers usually wait for
	 * one try.
	 */
	public static final Duration HOLD = Duration.ofSeconds(6);

	/**
	 * Minimum delay after which callers are asked to return, so that the mark no longer
	 * holds by any clock.
	 */
	public static final Duration MINIMUM_RETRY_AFTER = HOLD.plusSeconds(3);

	private static final String PREFIX = "rejected ";

	/**
	 * Encodes the mark.
	 * @return the value of the row
	 */
	public String write() {
		return PREFIX + this.millis;
	}

	/**
	 * Returns whether a row stands for a rejected job.
	 * @param row the row of a job
	 * @return true if its value is a mark
	 */
	public static boolean isMark(StoredRow row) {
		return row.exists() && row.value().startsWith(PREFIX);
	}

	/**
	 * Decodes the mark of a row.
	 * @param row the row of a job
	 * @return the mark, or empty if the row holds none or a malformed one
	 */
	public static Optional<RejectionMark> read(StoredRow row) {
		try {
			return isMark(row) ? Optional.of(new RejectionMark(Long.parseLong(row.value().substring(PREFIX.length()))))
					: Optional.empty();
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Returns whether a submission came certainly after the rejection.
	 * @param submittedMillis when an entry process received the submission, Unix time in
	 * milliseconds
	 * @return true if the submission may replace the mark
	 */
	public boolean replaceableAt(long submittedMillis) {
		return submittedMillis - this.millis >= HOLD.toMillis();
	}

}

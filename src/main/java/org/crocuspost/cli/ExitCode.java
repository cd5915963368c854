package org.crocuspost.cli;

/**
 * Exit codes of the command line.
 */
public enum ExitCode {

	/**
	 * Done.
	 */
	OK(0, "done"),

	/**
	 * A fault of crocuspost itself.
	 */
	INTERNAL(1, "a fault of crocuspost itself"),

	/**
	 * Wrong flags, or a file that cannot be read.
	 */
	USAGE(2, "wrong flags, or a file that cannot be read"),

	/**
	 * The release note has faults.
	 */
	INVALID(3, "the release note has faults"),

	/**
	 * The release note was written for another version.
	 */
	OUTDATED(4, "the release note was written for another version; the answer says what changed"),

	/**
	 * Refused for another reason, without effect.
	 */
	REFUSED(5, "refused for another reason, without effect"),

	/**
	 * What was asked for does not exist.
	 */
	NOT_FOUND(6, "what was asked for does not exist"),

	/**
	 * The note may have been accepted; submit it again.
	 */
	UNKNOWN(7, "the note may have been accepted: submit the same note again to find out"),

	/**
	 * No entry can be reached, or the platform's store is down. Without effect.
	 */
	UNAVAILABLE(8, "no entry can be reached, or the platform's store is down; without effect"),

	/**
	 * The note is accepted but was not in force everywhere within the time to wait.
	 */
	NOT_YET_IN_FORCE(9, "accepted, but not in force everywhere within the time to wait");

	private final int code;

	private final String meaning;

	ExitCode(int code, String meaning) {
		this.code = code;
		this.meaning = meaning;
	}

	/**
	 * Returns the code.
	 * @return the code
	 */
	public int code() {
		return this.code;
	}

	/**
	 * Returns what the code means.
	 * @return the meaning in plain English
	 */
	public String meaning() {
		return this.meaning;
	}

	static ExitCode ofError(String errorCode) {
		return switch (errorCode) {
			case "note-invalid", "malformed", "request-too-large" -> INVALID;
			case "note-conflict" -> OUTDATED;
			case "not-found" -> NOT_FOUND;
			case "store-unknown" -> UNKNOWN;
			case "store-unavailable" -> UNAVAILABLE;
			case "internal" -> INTERNAL;
			default -> REFUSED;
		};
	}

}

package org.crocuspost.standin;

/**
 * Fault of one write.
 */
public enum WriteFault {

	/**
	 * The write is applied and answered.
	 */
	NONE,

	/**
	 * The write is lost; the caller receives no answer.
	 */
	LOST_BEFORE_WRITE,

	/**
	 * The write is applied; the caller receives no answer.
	 */
	LOST_AFTER_WRITE,

	/**
	 * The write is held back until {@code applyHeld} is called on the stand-in; the
	 * caller receives no answer.
	 */
	HELD

}

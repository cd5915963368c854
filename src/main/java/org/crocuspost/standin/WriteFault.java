package org.crocuspost.standin;

/**
 * What goes wrong with one write.
 */
public enum WriteFault {

	/**
	 * The write is applied and answered.
	 */
	NONE,

	/**
	 * The write is lost; the caller gets no answer.
	 */
	LOST_BEFORE_WRITE,

	/**
	 * The write is applied; the caller gets no answer.
	 */
	LOST_AFTER_WRITE,

	/**
	 * The write is held back until the stand-in is told to apply it; the caller gets no
	 * answer.
	 */
	HELD

}

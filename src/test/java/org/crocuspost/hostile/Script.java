package org.crocuspost.hostile;

import java.util.Arrays;
import java.util.Collections;
import java.util.Iterator;

/**
 * What one connection of a crowd sends.
 *
 * @param opening sent as fast as the server reads it
 * @param trickle sent afterwards, one element at a time with a pause between
 */
record Script(Iterator<byte[]> opening, Iterator<byte[]> trickle) {

	static Script of(byte[]... parts) {
		return new Script(Arrays.asList(parts).iterator(), Collections.emptyIterator());
	}

}

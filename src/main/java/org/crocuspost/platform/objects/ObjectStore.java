package org.crocuspost.platform.objects;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.crocuspost.error.Failure;

/**
 * Stores immutable objects. Calls block until the platform responds or the timeout of the
 * call expires. They never throw.
 */
public interface ObjectStore {

	/**
	 * Stores an object. Storing the same bytes again under the same name has no effect,
	 * so a call whose response was lost can be repeated.
	 * @param name the name, which contains a digest of the content
	 * @param content the content
	 * @return the name
	 */
	Either<Failure, String> put(String name, byte[] content);

	/**
	 * Reads an object.
	 * @param name the name
	 * @return the content, or none if there is no such object
	 */
	Either<Failure, Option<byte[]>> get(String name);

}

package org.crocuspost.daemon;

import java.nio.file.Path;

import io.vavr.control.Either;

/**
 * Loader of a settings file.
 *
 * @param <S> the type of the settings
 */
@FunctionalInterface
public interface SettingsLoader<S> {

	/**
	 * Reads and validates a settings file.
	 * @param file the file
	 * @return the settings, or a text with one line for each fault
	 */
	Either<String, S> load(Path file);

}

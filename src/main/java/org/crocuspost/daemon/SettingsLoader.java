package org.crocuspost.daemon;

import java.nio.file.Path;

import io.vavr.control.Either;

/**
 * Reads and checks a settings file.
 *
 * @param <S> the type of the settings
 */
@FunctionalInterface
public interface SettingsLoader<S> {

	/**
	 * Reads and checks a settings file.
	 * @param file the file
	 * @return the settings, or a text that lists every fault on a line of its own
	 */
	Either<String, S> load(Path file);

}

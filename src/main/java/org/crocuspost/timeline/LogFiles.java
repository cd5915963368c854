package org.crocuspost.timeline;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;

/**
 * Reads the log lines of crocuspost processes from files or standard input. Lines in any
 * other format are skipped.
 */
public final class LogFiles {

	private LogFiles() {
	}

	/**
	 * Reads log lines from files.
	 * @param files the files; standard input is read if the list is empty
	 * @return the lines, or an error message that names the input that cannot be read and
	 * the reason
	 */
	public static Either<String, List<LogLine>> read(List<Path> files) {
		List<LogLine> lines = new ArrayList<>();
		if (files.isEmpty()) {
			try {
				read(new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)), lines);
			}
			catch (IOException ex) {
				return Either.left("standard input cannot be read: " + ex.getMessage());
			}
		}
		for (Path file : files) {
			try (BufferedReader reader = Files.newBufferedReader(file)) {
				read(reader, lines);
			}
			catch (IOException ex) {
				return Either.left(file + " cannot be read: " + ex.getMessage());
			}
		}
		return Either.right(lines);
	}

	private static void read(BufferedReader reader, List<LogLine> lines) throws IOException {
		for (String line = reader.readLine(); line != null; line = reader.readLine()) {
			LogLine.parse(line).ifPresent(lines::add);
		}
	}

}

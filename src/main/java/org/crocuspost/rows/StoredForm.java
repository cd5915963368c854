package org.crocuspost.rows;

import java.io.UncheckedIOException;
import java.util.Objects;
import java.util.function.Function;

import org.crocuspost.json.Json;

/**
 * Stored form of a record of which some fields are texts from outside.
 *
 * <p>
 * A record is stored as a JSON document, which holds any text. The previous version of
 * the programs reads and writes a line that joins the fields by blanks instead. During a
 * rolling upgrade, a leader of that version ignores what it can't read. Therefore, a
 * record is stored as a line as long as the previous version reads the same record from
 * it:
 *
 * <pre>
 * checkpoint   line                         read by the previous version as   stored as
 * step-7       2 1 0 host worker 17 step-7  checkpoint step-7                 line
 * step 7       2 1 0 host worker 17 step 7  malformed                         document
 * at 3 4       2 1 0 host worker 17 at 3 4  checkpoint at, 3 and 4 crashes    document
 * -            2 1 0 host worker 17 -       no checkpoint                     document
 * </pre>
 *
 * Checking the line by reading it is safer than a list of characters to avoid: the last
 * two examples contain nothing that is malformed.
 *
 * @param <T> the type of the record
 * @param type the class of the record
 * @param lineWriter writes the line
 * @param lineReader reads a line; throws an {@link IllegalArgumentException} if it is
 * malformed
 * @param previousLineReader reads a line as the previous version does; throws an
 * {@link IllegalArgumentException} if that version considers it malformed
 */
public record StoredForm<T extends Record>(Class<T> type, Function<T, String> lineWriter,
		Function<String, T> lineReader, Function<String, T> previousLineReader) {

	private static final String DOCUMENT_START = "{";

	public StoredForm {
		Objects.requireNonNull(type, "type");
		Objects.requireNonNull(lineWriter, "lineWriter");
		Objects.requireNonNull(lineReader, "lineReader");
		Objects.requireNonNull(previousLineReader, "previousLineReader");
	}

	/**
	 * Encodes a record.
	 * @param value the record
	 * @return the value of its row
	 */
	public String write(T value) {
		String line = this.lineWriter.apply(value);
		return (!line.startsWith(DOCUMENT_START) && previousVersionReads(line, value)) ? line : Json.write(value);
	}

	private boolean previousVersionReads(String line, T value) {
		try {
			return this.previousLineReader.apply(line).equals(value);
		}
		catch (IllegalArgumentException ex) {
			return false;
		}
	}

	/**
	 * Decodes a record that this or the previous version has encoded.
	 * @param text the value of the row
	 * @return the record
	 * @throws IllegalArgumentException if the value is malformed
	 */
	public T read(String text) {
		if (!text.startsWith(DOCUMENT_START)) {
			return this.lineReader.apply(text);
		}
		try {
			return Json.read(text, this.type);
		}
		catch (UncheckedIOException ex) {
			throw new IllegalArgumentException(ex.getCause().getMessage(), ex);
		}
	}

}

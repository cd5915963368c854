package org.crocuspost.release;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.crocuspost.error.Failure;
import org.crocuspost.json.Json;
import org.crocuspost.platform.table.Row;
import org.crocuspost.platform.table.TableKeys;
import org.crocuspost.platform.table.TableService;

/**
 * Reads accepted notes. Each record of a note names the note accepted before it, so that
 * a list costs as many reads as it has notes, regardless of how many were ever accepted.
 */
public final class NoteHistory {

	private final TableService table;

	private final ConfigurationHeadReader headReader;

	/**
	 * Creates an instance.
	 * @param table the table service
	 */
	public NoteHistory(TableService table) {
		this.table = table;
		this.headReader = new ConfigurationHeadReader(table);
	}

	/**
	 * Finds an accepted note.
	 * @param id the identifier of the note
	 * @return the record of the note, or none if it was not accepted
	 */
	public Either<Failure, Option<NoteRecord>> find(String id) {
		return this.table.read(TableKeys.note(id)).map(NoteHistory::decode);
	}

	/**
	 * Returns the newest notes.
	 * @param limit the maximum number of notes
	 * @return the notes, newest first
	 */
	public Either<Failure, List<NoteRecord>> newest(int limit) {
		return this.headReader.read().flatMap((row) -> walk(ConfigurationHead.of(row), limit, (note) -> true));
	}

	/**
	 * Returns the notes that were accepted after a version.
	 * @param head the head of the newest configuration
	 * @param version the version
	 * @param limit the maximum number of notes
	 * @return the notes, newest first
	 */
	public Either<Failure, List<NoteRecord>> since(ConfigurationHead head, long version, int limit) {
		return walk(head, limit, (note) -> note.version() > version);
	}

	private Either<Failure, List<NoteRecord>> walk(ConfigurationHead head, int limit, Predicate<NoteRecord> included) {
		List<NoteRecord> result = new ArrayList<>();
		String id = head.noteId();
		while (result.size() < limit && !id.isEmpty()) {
			Either<Failure, Option<NoteRecord>> found = find(id);
			if (found.isLeft()) {
				return Either.left(found.getLeft());
			}
			if (found.get().filter(included).isEmpty()) {
				break;
			}
			result.add(found.get().get());
			id = found.get().get().previousId();
		}
		return Either.right(result);
	}

	static Option<NoteRecord> decode(Row row) {
		return row.exists() ? Option.of(Json.read(row.value(), NoteRecord.class)) : Option.none();
	}

}

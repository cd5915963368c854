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
 * Reads accepted notes. Each note names the one before, so that a list costs as many
 * reads as it has notes, however many were ever accepted.
 */
public final class NoteHistory {

	private final TableService table;

	private final ConfigurationHeadReader heads;

	/**
	 * Creates the history.
	 * @param table the table service
	 */
	public NoteHistory(TableService table) {
		this.table = table;
		this.heads = new ConfigurationHeadReader(table);
	}

	/**
	 * Finds an accepted note.
	 * @param id the identity of the note
	 * @return the note, or none if it was not accepted
	 */
	public Either<Failure, Option<NoteRecord>> find(String id) {
		return this.table.read(TableKeys.note(id)).map(NoteHistory::decode);
	}

	/**
	 * Returns the newest notes.
	 * @param limit the greatest number of notes
	 * @return the notes, newest first
	 */
	public Either<Failure, List<NoteRecord>> newest(int limit) {
		return this.heads.read().flatMap((row) -> walk(ConfigurationHead.of(row), limit, (note) -> true));
	}

	/**
	 * Returns the notes that were accepted after a version.
	 * @param head the newest configuration
	 * @param version the version
	 * @param limit the greatest number of notes
	 * @return the notes, newest first
	 */
	public Either<Failure, List<NoteRecord>> since(ConfigurationHead head, long version, int limit) {
		return walk(head, limit, (note) -> note.version() > version);
	}

	private Either<Failure, List<NoteRecord>> walk(ConfigurationHead head, int limit, Predicate<NoteRecord> wanted) {
		List<NoteRecord> result = new ArrayList<>();
		String id = head.noteId();
		while (result.size() < limit && !id.isEmpty()) {
			Either<Failure, Option<NoteRecord>> found = find(id);
			if (found.isLeft()) {
				return Either.left(found.getLeft());
			}
			if (found.get().filter(wanted).isEmpty()) {
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

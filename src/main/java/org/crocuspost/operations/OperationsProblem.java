package org.crocuspost.operations;

import java.util.List;

import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.json.JsonFault;
import org.crocuspost.release.ConfigurationDifference;
import org.crocuspost.release.NoteOutcome;

/**
 * Body of an error response to an operator, as in {@code application/problem+json}.
 *
 * @param type identifies the kind of error
 * @param title the code of the error
 * @param status the HTTP status code
 * @param detail what happened, in plain English
 * @param code the code from the error catalogue
 * @param verdict whether the request may have taken effect
 * @param resolution how to find out whether it did; empty if it is known
 * @param faults faults of the release note
 * @param notes ids of notes that were accepted meanwhile, newest first
 * @param changes the changes that those notes made
 */
public record OperationsProblem(String type, String title, int status, String detail, String code, String verdict,
		String resolution, List<JsonFault> faults, List<String> notes, List<ConfigurationDifference.Change> changes) {

	static final String CONTENT_TYPE = "application/problem+json";

	private static final String TYPE_PREFIX = "urn:crocuspost:error:";

	static OperationsProblem of(Failure failure) {
		return of(failure, "", List.of(), List.of(), List.of());
	}

	static OperationsProblem of(NoteOutcome.Unknown unknown) {
		return of(unknown.failure(), unknown.resolution(), List.of(), List.of(), List.of());
	}

	static OperationsProblem of(NoteOutcome.Invalid invalid) {
		return of(ErrorCode.NOTE_INVALID.with(invalid.faults().size()), "", invalid.faults(), List.of(), List.of());
	}

	static OperationsProblem of(NoteOutcome.Outdated outdated) {
		Failure failure = ErrorCode.NOTE_CONFLICT.with(outdated.basedOn(), outdated.version());
		return of(failure, "", List.of(), outdated.notes(), outdated.changes());
	}

	private static OperationsProblem of(Failure failure, String resolution, List<JsonFault> faults, List<String> notes,
			List<ConfigurationDifference.Change> changes) {
		String code = failure.code().code();
		return new OperationsProblem(TYPE_PREFIX + code, code, failure.code().status(), failure.message(), code,
				failure.verdict().label(), resolution, faults, notes, changes);
	}

}

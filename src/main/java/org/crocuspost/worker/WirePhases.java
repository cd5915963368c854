package org.crocuspost.worker;

import org.crocuspost.platform.worker.TaskState.Phase;
import org.crocuspost.wire.AttemptReport;

/**
 * Converts phases of attempts to their form in messages.
 */
final class WirePhases {

	private WirePhases() {
	}

	static AttemptReport.Phase toWire(Phase phase) {
		return switch (phase) {
			case RUNNING -> AttemptReport.Phase.PHASE_RUNNING;
			case SUCCEEDED -> AttemptReport.Phase.PHASE_SUCCEEDED;
			case FAILED -> AttemptReport.Phase.PHASE_FAILED;
			case STOPPED -> AttemptReport.Phase.PHASE_STOPPED;
		};
	}

}

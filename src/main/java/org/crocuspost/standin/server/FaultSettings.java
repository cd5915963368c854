package org.crocuspost.standin.server;

import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.crocuspost.standin.StoreFaults;
import org.crocuspost.standin.WriteFault;

/**
 * Body of the request that sets the faults of a store stand-in. Members that are left out
 * turn their fault off.
 *
 * @param down whether every call fails
 * @param delay how long every call waits before it is executed
 * @param staleReads whether reads are stale
 * @param nextWrites the faults of the next writes, one each
 */
public record FaultSettings(boolean down, @JsonProperty(required = false) Duration delay, boolean staleReads,
		List<WriteFault> nextWrites) {

	public FaultSettings {
		delay = (delay != null) ? delay : Duration.ZERO;
		nextWrites = (nextWrites != null) ? List.copyOf(nextWrites) : List.of();
	}

	/**
	 * Replaces the fault settings of a stand-in.
	 * @param faults the settings to replace
	 */
	public void applyTo(StoreFaults faults) {
		faults.clear();
		faults.down(this.down);
		faults.delayCalls(this.delay);
		faults.staleReads(this.staleReads);
		faults.nextWrites(this.nextWrites.toArray(WriteFault[]::new));
	}

}

package org.crocuspost.standin.server;

import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.crocuspost.standin.StoreFaults;
import org.crocuspost.standin.WriteFault;

/**
 * Faults that are switched on over HTTP. Members that are left out are off.
 *
 * @param down whether every call fails
 * @param delay how long every call waits
 * @param staleReads whether reads see an earlier state
 * @param nextWrites faults of the next writes, one each
 */
public record FaultSettings(boolean down, @JsonProperty(required = false) Duration delay, boolean staleReads,
		List<WriteFault> nextWrites) {

	public FaultSettings {
		delay = (delay != null) ? delay : Duration.ZERO;
		nextWrites = (nextWrites != null) ? List.copyOf(nextWrites) : List.of();
	}

	/**
	 * Sets the switches of a stand-in.
	 * @param faults the switches
	 */
	public void applyTo(StoreFaults faults) {
		faults.clear();
		faults.down(this.down);
		faults.slow(this.delay);
		faults.staleReads(this.staleReads);
		faults.nextWrites(this.nextWrites.toArray(WriteFault[]::new));
	}

}

package org.crocuspost.worker;

import org.crocuspost.platform.worker.Resources;
import org.crocuspost.wire.ResourceAmount;

/**
 * Converts resources to and from their form in messages.
 */
public final class WireResources {

	private WireResources() {
	}

	/**
	 * Converts resources to a message.
	 * @param resources the resources
	 * @return the message
	 */
	public static ResourceAmount toWire(Resources resources) {
		return ResourceAmount.newBuilder()
			.setMilliCores(resources.milliCores())
			.setMemoryMebibytes(resources.memoryMebibytes())
			.setAccelerators(resources.accelerators())
			.build();
	}

	/**
	 * Converts a message to resources. Negative amounts become zero.
	 * @param amount the message
	 * @return the resources
	 */
	public static Resources fromWire(ResourceAmount amount) {
		return new Resources(Math.max(0, amount.getMilliCores()), Math.max(0, amount.getMemoryMebibytes()),
				Math.max(0, amount.getAccelerators()));
	}

}

package org.crocuspost.platform.worker;

/**
 * Amount of resources that a worker offers or an attempt uses.
 *
 * @param milliCores CPU time in thousandths of a core
 * @param memoryMebibytes memory in MiB
 * @param accelerators the number of whole accelerators
 */
public record Resources(long milliCores, long memoryMebibytes, int accelerators) {

	/**
	 * No resources.
	 */
	public static final Resources NONE = new Resources(0, 0, 0);

	public Resources {
		if (milliCores < 0 || memoryMebibytes < 0 || accelerators < 0) {
			throw new IllegalArgumentException("resources must not be negative");
		}
	}

	/**
	 * Adds another amount.
	 * @param other the other amount
	 * @return the sum
	 */
	public Resources plus(Resources other) {
		return new Resources(this.milliCores + other.milliCores, this.memoryMebibytes + other.memoryMebibytes,
				this.accelerators + other.accelerators);
	}

	/**
	 * Subtracts another amount. A component that would become negative becomes zero.
	 * @param other the other amount
	 * @return the difference
	 */
	public Resources minus(Resources other) {
		return new Resources(Math.max(0, this.milliCores - other.milliCores),
				Math.max(0, this.memoryMebibytes - other.memoryMebibytes),
				Math.max(0, this.accelerators - other.accelerators));
	}

	/**
	 * Returns whether this amount fits into another.
	 * @param available the other amount
	 * @return true if no component is larger than the same component of the other amount
	 */
	public boolean fitsInto(Resources available) {
		return this.milliCores <= available.milliCores && this.memoryMebibytes <= available.memoryMebibytes
				&& this.accelerators <= available.accelerators;
	}

}

package org.crocuspost.standin.server;

import java.util.function.IntSupplier;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.crocuspost.standin.StoreCounts;
import org.crocuspost.standin.StoreFaults;
import ratpack.func.Action;
import ratpack.handling.Chain;

/**
 * Routes that set the faults of one store stand-in, apply its held writes and return its
 * counts.
 */
final class FaultHandlers implements Action<Chain> {

	private final StoreFaults faults;

	private final IntSupplier applyHeld;

	private final Supplier<StoreCounts> counts;

	FaultHandlers(StoreFaults faults, IntSupplier applyHeld, Supplier<StoreCounts> counts) {
		this.faults = faults;
		this.applyHeld = applyHeld;
		this.counts = counts;
	}

	@Override
	public void execute(Chain chain) {
		chain.put("faults", (context) -> Answers.withBody(context, FaultSettings.class, (settings) -> {
			settings.applyTo(this.faults);
			return Either.right(settings);
		}))
			.post("held-writes",
					(context) -> Answers.json(context, 200, new HeldWritesApplied(this.applyHeld.getAsInt())))
			.get("counts", (context) -> Answers.json(context, 200, this.counts.get()));
	}

}

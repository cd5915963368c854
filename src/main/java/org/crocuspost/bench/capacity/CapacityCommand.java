package org.crocuspost.bench.capacity;

import java.io.PrintWriter;
import java.util.Locale;
import java.util.concurrent.Callable;

import org.crocuspost.json.Json;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.task.TaskRecord;
import org.crocuspost.task.TaskStatus;
import org.crocuspost.time.SystemClock;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * Measures the cost of each additional attempt or worker, from which the capacity page is
 * calculated. Also prints the sizes of single messages and of a task row.
 */
@Command(name = "capacity", mixinStandardHelpOptions = true,
		description = "Measures sizes of messages and rows and the processor time of decisions.")
public final class CapacityCommand implements Callable<Integer> {

	@Spec
	private CommandSpec specification = CommandSpec.create();

	@Override
	public Integer call() {
		PrintWriter out = this.specification.commandLine().getOut();
		for (Slope slope : new SlopeMeasurement(new SystemClock()).measure()) {
			out.printf(Locale.ROOT, "%-38s %5d %-9s %10.1f %-13s %5d %-9s %10.1f %-13s each more %.2f%n", slope.name(),
					slope.smallSize(), slope.sizeUnit(), slope.smallCost(), slope.costUnit(), slope.largeSize(),
					slope.sizeUnit(), slope.largeCost(), slope.costUnit(), slope.costPerUnit());
		}
		out.printf(Locale.ROOT, "agent status on the wire %d bytes%n",
				SampleMessages.agentStatus().getSerializedSize());
		out.printf(Locale.ROOT, "ping on the wire %d bytes%n", SampleMessages.ping().getSerializedSize());
		out.printf(Locale.ROOT, "task row %d bytes%n", Json.write(sampleTask()).length());
		out.flush();
		return 0;
	}

	private static TaskRecord sampleTask() {
		return new TaskRecord("nightly-statements/0123", "nightly-statements", TaskStatus.RUNNING, "bkk-a", 12_000_001,
				42, "worker-0123", new Resources(4000, 16_000, 0), "checkpoint/0123456789abcdef", 0, "");
	}

}

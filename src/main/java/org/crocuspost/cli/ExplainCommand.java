package org.crocuspost.cli;

import java.io.PrintWriter;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import io.vavr.control.Either;
import org.crocuspost.timeline.JobTimeline;
import org.crocuspost.timeline.LogFiles;
import org.crocuspost.timeline.LogLine;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;

/**
 * Implements the command {@code crocuspost explain}.
 */
@Command(name = "explain", description = "Explains the state of a task or a request, or prints the timeline of a job.",
		synopsisSubcommandLabel = "COMMAND")
final class ExplainCommand {

	@ParentCommand
	private @Nullable OperatorCommand parent;

	@Command(name = "task", description = "Explains why a task waits, was evicted or failed.")
	int task(@Parameters(paramLabel = "ID", description = "The id of the task.") String id) {
		return explain("/explain/task/", id);
	}

	@Command(name = "request", description = "Shows the outcome of a request and why it was refused.")
	int request(@Parameters(paramLabel = "ID", description = "The id of the request.") String id) {
		return explain("/explain/request/", id);
	}

	@Command(name = "job", description = "Prints the timeline of a job from logs, in order of time. Calls no entry.")
	int job(@Parameters(paramLabel = "ID", description = "The id of the job.") String id,
			@Parameters(paramLabel = "FILE", arity = "0..*",
					description = "Log files of the programs. Default: standard input.") List<Path> files) {
		PrintWriter output = Objects.requireNonNull(this.parent).output();
		Either<String, List<LogLine>> log = LogFiles.read((files != null) ? files : List.of());
		if (log.isLeft()) {
			return Objects.requireNonNull(this.parent).usageError(log.getLeft());
		}
		Optional<JobTimeline> timeline = JobTimeline.of(id, log.get());
		if (timeline.isEmpty()) {
			output.println("the logs contain no line about job " + id);
			output.flush();
			return ExitCode.NOT_FOUND.code();
		}
		print(timeline.get(), output);
		return ExitCode.OK.code();
	}

	private static void print(JobTimeline timeline, PrintWriter output) {
		timeline.summary().forEach(output::println);
		output.println();
		Instant begin = timeline.lines().get(0).time();
		for (LogLine line : timeline.lines()) {
			StringBuilder text = new StringBuilder("%10s".formatted(JobTimeline.formatSeconds(begin, line.time())))
				.append("  ")
				.append(line.event());
			new TreeMap<>(line.fields()).forEach((name, value) -> {
				if (!name.equals("level") && !value.isEmpty()) {
					text.append(' ').append(name).append('=').append(value);
				}
			});
			output.println(line.origin().isEmpty() ? text : text + "  (" + line.origin() + ")");
		}
		output.flush();
	}

	private int explain(String path, String id) {
		String encoded = URLEncoder.encode(id, StandardCharsets.UTF_8).replace("+", "%20");
		return Objects.requireNonNull(this.parent).run((session) -> session.show(session.client().get(path + encoded)));
	}

}

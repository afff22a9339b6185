package org.guavahatch.cli.load

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.guavahatch.cli.command.Command
import org.guavahatch.cli.command.ConfigurationFile
import org.guavahatch.model.check.DocumentError
import org.guavahatch.model.check.DocumentReader
import org.guavahatch.model.check.ProblemCollector
import org.kohsuke.args4j.Option
import java.nio.file.Files
import java.nio.file.Path

/** Sends a load to entry instances, measures the responses and checks them against the records of the stand-ins. */
internal class LoadCommand : Command {
    @Option(name = "--mix", required = true, metaVar = "FILE", usage = "mix of requests to send, JSON with comments")
    private var mixFile: String = ""

    @Option(
        name = "--target",
        required = true,
        metaVar = "URL",
        usage = "base URL of an entry instance; may be repeated",
    )
    private var targets: List<String> = ArrayList()

    @Option(name = "--records", metaVar = "URL", usage = "base URL of a stand-in that keeps records; may be repeated")
    private var recordUrls: List<String> = ArrayList()

    @Option(name = "--result", metaVar = "FILE", usage = "file to write the result to, as JSON")
    private var resultFile: String = ""

    @Option(name = "--prefix", metaVar = "TEXT", usage = "prefix of the request names, default load")
    private var prefix: String = "load"

    @Option(name = "--quiet", usage = "do not show progress")
    private var isQuiet: Boolean = false

    override fun run(): Int {
        val text = ConfigurationFile.read(mixFile) ?: return Command.EXIT_USAGE
        return when (val mix = readMix(text)) {
            is Either.Left -> {
                System.err.println(mix.value)
                Command.EXIT_USAGE
            }
            is Either.Right -> run(mix.value)
        }
    }

    private fun readMix(text: String): Either<DocumentError, LoadMix> =
        DocumentReader.read(mixFile, text, LoadMix.serializer()).flatMap { mix ->
            val collector = ProblemCollector()
            mix.check(collector)
            if (collector.problems.isEmpty()) mix.right() else DocumentError(mixFile, collector.problems).left()
        }

    private fun run(mix: LoadMix): Int {
        val result = runBlocking { measure(mix) }
        if (resultFile.isNotEmpty()) Files.writeString(Path.of(resultFile), json.encodeToString(result))
        ResultPrinter.print(result)
        return if (result.wrong.isEmpty()) Command.EXIT_OK else Command.EXIT_REFUSED
    }

    private suspend fun measure(mix: LoadMix): LoadResult = CallerClient(targets).use { client ->
        val measurements = LoadRun(client, !isQuiet).send(ArrivalSchedule.plan(mix, prefix))
        // Requests with the outcome "unknown" may still be running, so their records may still change.
        if (recordUrls.isNotEmpty()) delay(RECORDS_DELAY_MILLISECONDS)
        val wrong = if (recordUrls.isEmpty()) {
            emptyList()
        } else {
            RecordCheck.check(measurements, RecordCheck.fetch(recordUrls))
        }
        ResultBuilder.build(mix, measurements, wrong)
    }

    private companion object {
        const val RECORDS_DELAY_MILLISECONDS = 500L
        val json = Json { prettyPrint = true }
    }
}

package org.guavahatch.cli.command

import arrow.core.Either
import kotlinx.coroutines.runBlocking
import org.guavahatch.coordination.http.HttpObjectStore
import org.guavahatch.coordination.http.HttpTableService
import org.guavahatch.coordination.http.PlatformClient
import org.guavahatch.coordination.publication.ConfigurationPublisher
import org.guavahatch.coordination.publication.ConfigurationStore
import org.guavahatch.coordination.store.PlatformError
import org.guavahatch.coordination.store.TableService
import org.guavahatch.model.configuration.ConfigurationDifference
import org.guavahatch.model.configuration.ConfigurationReader
import org.guavahatch.model.configuration.ConfigurationSet
import org.guavahatch.model.configuration.ConfigurationVersion
import org.guavahatch.model.time.SystemClock
import org.kohsuke.args4j.Option

/** Clients of the platform services that commands use. */
internal class PlatformServices(
    val table: TableService,
    val store: ConfigurationStore,
    val publisher: ConfigurationPublisher,
)

/** Command that uses the services of the platform. */
internal abstract class PlatformCommand : Command {
    @Option(name = "--platform", required = true, metaVar = "URL", usage = "address of the platform's services")
    private var platformUrl: String = ""

    @Option(name = "--settle-for", metaVar = "SECONDS", usage = "how long to retry after a lost answer, default 30")
    private var settleSeconds: Long = 30

    /** Runs the command with the clients in [platform]; returns the exit code of the process. */
    abstract suspend fun run(platform: PlatformServices): Int

    override fun run(): Int = PlatformClient(platformUrl, TIMEOUT_MILLISECONDS).use { client ->
        val table = HttpTableService(client)
        val objects = HttpObjectStore(client)
        val settle = settleSeconds * MILLISECONDS_PER_SECOND
        val publisher = ConfigurationPublisher(table, objects, SystemClock, settle)
        runBlocking { run(PlatformServices(table, ConfigurationStore(table, objects), publisher)) }
    }

    /** Calls [proceed] with the value of [result], or prints its error and returns [Command.EXIT_UNAVAILABLE]. */
    protected suspend fun <T> whenAvailable(result: Either<PlatformError, T>, proceed: suspend (T) -> Int): Int =
        when (result) {
            is Either.Right -> proceed(result.value)
            is Either.Left -> {
                val error = result.value
                System.err.println("guavahatch: ${error.step} at ${error.peer}: ${error.detail}")
                Command.EXIT_UNAVAILABLE
            }
        }

    /** Prints the differences between [text] and the head, which is the latest accepted configuration. */
    protected suspend fun printDifferences(platform: PlatformServices, source: String, text: String): Int =
        ConfigurationReader.read(source, text).fold(
            { error ->
                System.err.println(error)
                Command.EXIT_USAGE
            },
            { newer ->
                whenAvailable(platform.store.head()) { head ->
                    whenAvailable(readConfiguration(platform, head?.publication?.version)) { older ->
                        printDifferences(older, newer)
                    }
                }
            },
        )

    private suspend fun readConfiguration(
        platform: PlatformServices,
        version: ConfigurationVersion?,
    ): Either<PlatformError, ConfigurationSet?> = if (version == null) {
        Either.Right(null)
    } else {
        platform.store.text(version).map { text ->
            text?.let { ConfigurationReader.read(version.toString(), it).getOrNull() }
        }
    }

    private fun printDifferences(older: ConfigurationSet?, newer: ConfigurationSet): Int {
        val emptyConfiguration = ConfigurationSet(emptyList(), emptyList(), emptyList(), emptyList())
        val differences = ConfigurationDifference.between(older ?: emptyConfiguration, newer)
        if (differences.isEmpty()) println("no difference")
        differences.forEach(::println)
        return Command.EXIT_OK
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1000L
        const val TIMEOUT_MILLISECONDS = 5000L
    }
}

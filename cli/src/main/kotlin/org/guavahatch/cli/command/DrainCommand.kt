package org.guavahatch.cli.command

import org.guavahatch.model.configuration.ConfigurationReader
import org.guavahatch.model.configuration.ConfigurationSet
import org.guavahatch.model.configuration.Drain
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option

/** Publishes the content of the head, the latest accepted configuration, with changed drains. */
internal abstract class DrainChangeCommand : PublishingCommand() {
    @Argument(index = 0, required = true, metaVar = "POOL", usage = "endpoint pool")
    protected var pool: String = ""

    @Argument(index = 1, required = true, metaVar = "ENDPOINT", usage = "endpoint")
    protected var endpoint: String = ""

    /** Returns [set] with the changed drains. */
    protected abstract fun changeDrains(set: ConfigurationSet): ConfigurationSet

    override suspend fun run(platform: PlatformServices): Int = whenAvailable(platform.store.head()) { head ->
        val version = head?.publication?.version
        if (version == null) {
            System.err.println("guavahatch: No configuration has been published yet.")
            Command.EXIT_USAGE
        } else {
            whenAvailable(platform.store.text(version)) { text ->
                ConfigurationReader.read(version.toString(), text.orEmpty()).fold(
                    { error ->
                        System.err.println(error)
                        Command.EXIT_USAGE
                    },
                    { set ->
                        val changed = ConfigurationReader.write(changeDrains(set))
                        publish(platform, "version $version", changed, version, "drains of $pool/$endpoint")
                    },
                )
            }
        }
    }

    /** Returns the drains of all endpoints of [set] except [endpoint] of [pool]. */
    protected fun otherDrains(set: ConfigurationSet): List<Drain> =
        set.drains.filterNot { it.pool == pool && it.endpoint == endpoint }
}

/** Publishes a drain, which takes an endpoint out of service. */
internal class DrainCommand : DrainChangeCommand() {
    @Option(name = "--reason", required = true, metaVar = "TEXT", usage = "reason, stored with the drain")
    private var reason: String = ""

    @Option(name = "--minutes", metaVar = "NUMBER", usage = "minutes until the drain expires, default never")
    private var minutes: Long = 0

    override fun changeDrains(set: ConfigurationSet): ConfigurationSet {
        val expiry = if (minutes == 0L) 0 else System.currentTimeMillis() + minutes * MILLISECONDS_PER_MINUTE
        return set.copy(drains = otherDrains(set) + Drain(endpoint, pool, reason, expiry))
    }

    private companion object {
        const val MILLISECONDS_PER_MINUTE = 60_000L
    }
}

/** Removes the drain of an endpoint, which puts it back into service. */
internal class UndrainCommand : DrainChangeCommand() {
    override fun changeDrains(set: ConfigurationSet): ConfigurationSet = set.copy(drains = otherDrains(set))
}

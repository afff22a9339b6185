package org.guavahatch.cli.command

import org.guavahatch.model.configuration.HashedKey
import java.security.SecureRandom
import java.util.HexFormat

/** Reads a client key from standard input and prints its salted hash for the configuration. */
internal class HashKeyCommand : Command {
    override fun run(): Int {
        val key = readlnOrNull()?.trim().orEmpty()
        if (key.isEmpty()) {
            System.err.println("guavahatch: No client key was given on standard input.")
            return Command.EXIT_USAGE
        }
        val salt = HexFormat.of().formatHex(ByteArray(SALT_BYTES).also(SecureRandom()::nextBytes))
        val hashed = HashedKey.of(salt, key)
        println("""{ "salt": "${hashed.salt}", "hash": "${hashed.hash}" }""")
        return Command.EXIT_OK
    }

    private companion object {
        const val SALT_BYTES = 8
    }
}

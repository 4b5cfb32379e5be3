package laurelkeel.platform;

/** Signals an invalid or unreadable configuration; the message names the field or file and the reason. */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean fileReadable;

    /**
     * Creates an exception for a configuration that was read but is invalid.
     *
     * @param subject the invalid field, file or other part
     * @param reason what is wrong with it
     */
    InvalidConfigurationException(String subject, String reason) {
        this(subject, reason, true);
    }

    private InvalidConfigurationException(String subject, String reason, boolean fileReadable) {
        super(subject + ": " + reason);
        this.fileReadable = fileReadable;
    }

    /** Returns the exception for a file that the system failed to read; its content may be valid. */
    static InvalidConfigurationException unreadableFile(String file, String reason) {
        return new InvalidConfigurationException(file, "cannot be read: " + reason, false);
    }

    /** Returns false if the system failed to read an existing file, whose content may be valid. */
    public boolean isFileReadable() {
        return fileReadable;
    }
}

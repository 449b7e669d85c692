// Placeholder so that the package builds until its first module is merged.

/**
 * Sets the environment variable without which `roarr` drops every line. It is
 * read when `roarr` is loaded, so this module must be imported first.
 */

process.env['ROARR_LOG'] ??= 'true';

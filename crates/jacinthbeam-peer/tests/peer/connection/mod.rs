mod silence;
